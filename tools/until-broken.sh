#!/usr/bin/env bash
# Plays a scenario again and again until a rule breaks, and keeps what was written in that play.
#   tools/until-broken.sh COUNT FOLDER COMMAND…    # %d in COMMAND becomes the play's folder, for its logs
# A play is broken if COMMAND fails, says that a rule was broken, or a relay's log in its folder holds a report of the
# deadline watchdog ("without its end"). Exit code: 0 all plays held, 1 one was broken.
set -u
count=$1 folder=$2
shift 2
for n in $(seq 1 "$count"); do
  play=$folder/$n
  mkdir -p "$play"
  "${@//%d/$play}" > "$play/output" 2>&1
  code=$?
  if [ $code -ne 0 ] || grep -qiE 'rule broken|rule was broken' "$play/output" || grep -rqs 'without its end' "$play"; then
    echo "play $n is broken (exit $code): $play"
    grep -rhsE 'without its end|[Rr]ule' "$play" | head -20
    exit 1
  fi
  echo "play $n holds"
  rm -rf "$play"
done
