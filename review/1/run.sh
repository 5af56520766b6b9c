#!/usr/bin/env bash
# Plays the case on loopback: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves out
# the disruption. What was sent, answered and run goes to record.txt in this folder. Needs the build of deploy/system.toml
# and of review/build.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/stand-ins ] && [ -x target/release/onyxstile-system ] || exit 2
exec target/review/stand-ins long-conversation "$folder/record.txt"
