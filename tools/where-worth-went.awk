# Where worth went, from relays' logs at debug level (ONYXSTILE_LOG=debug): each flow's worth (orders 2, notices 1)
# by how it ended. A delivery after the aim (2.5 s, 3 s) counts as late.
#   awk -f tools/where-worth-went.awk n0.log n1.log
function at(  t) { t = $2; return t + 0 }
FNR == 1 { files++ }
{ key = 0 }
/ owner: flow [0-9]+ .* taken: class / { f = files ":" $6; cls[f] = $10; sub(",", "", cls[f]); took[f] = at(); n[f] = 0 }
/ upstream: flow [0-9]+ attempt / {
  f = files ":" $6; n[f]++; out = $11; sub("{.*", "", out); last[f] = out; lasted[f] = at()
}
/ owner: flow [0-9]+ .* ended: / {
  f = files ":" $6
  if (!(f in cls)) next
  w = cls[f] == "orders" ? 2 : 1; aim = cls[f] == "orders" ? 2.5 : 3; took_s = at() - took[f]
  e = $9; sub("\\(.*", "", e)
  if (e == "Delivered") why = took_s <= aim ? "delivered in time" : "delivered late"
  else if (n[f] == 0) why = (e == "Returned" ? "returned" : "failed") ", never sent"
  else why = (e == "Returned" ? "returned" : "failed") " after " last[f]
  worth[cls[f] " " why] += w; all += w; delete cls[f]
}
END {
  for (f in cls) { worth[cls[f] " open at the end of the log"] += cls[f] == "orders" ? 2 : 1; all += cls[f] == "orders" ? 2 : 1 }
  for (k in worth) printf "%6d %5.1f%%  %s\n", worth[k], worth[k] * 100 / all, k | "sort -rn"
}
