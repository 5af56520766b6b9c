# Where worth went, from relays' logs at debug level (ONYXSTILE_LOG=debug): each flow's worth (orders 2, notices 1)
# by how it ended. A delivery after the aim (2.5 s, 3 s) counts as late.
#   awk -f tools/where-worth-went.awk n0.log n1.log
function of(name,  m) { return match($0, " " name "=[^ ]*") ? substr($0, RSTART + length(name) + 2, RLENGTH - length(name) - 2) : "" }
function at(  n) { for (n = 1; n <= NF; n++) if ($n ~ /^[0-9]+\.[0-9]+$/) return $n + 0; return 0 }
FNR == 1 { files++ }
{ f = files ":" of("flow") }
/ flow taken / { cls[f] = of("class"); gsub("\"", "", cls[f]); took[f] = at(); n[f] = 0 }
/ attempt ended / { n[f]++; last[f] = of("outcome"); lasted[f] = at() }
/ flow ended / {
  if (!(f in cls)) next
  w = cls[f] == "orders" ? 2 : 1; aim = cls[f] == "orders" ? 2.5 : 3; took_s = at() - took[f]
  e = of("end"); gsub("\"", "", e)
  if (e == "delivered") why = took_s <= aim ? "delivered in time" : "delivered late"
  else if (n[f] == 0) why = e ", never sent"
  else why = e " after " last[f]
  worth[cls[f] " " why] += w; all += w; delete cls[f]
}
END {
  for (f in cls) { worth[cls[f] " open at the end of the log"] += cls[f] == "orders" ? 2 : 1; all += cls[f] == "orders" ? 2 : 1 }
  for (k in worth) printf "%6d %5.1f%%  %s\n", worth[k], worth[k] * 100 / all, k | "sort -rn"
}
