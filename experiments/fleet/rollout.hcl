# 200 forwarders: a target drains and its address becomes another's, and what operators set changes, while a tenth is stopped, a tenth hears nothing of
# its agent, and another tenth misses the signal; the newest is wanted. For comparison: --off.
forwarders   = 200
destinations = 3
targets      = 4
zones        = 4
rate         = 3
for          = "45s"
gossip       = true
operators    = "operators.json"

at "10s" {
  do    = "stop"
  share = 0.1
  tag   = "stopped"
}
at "10s" {
  do    = "silence"
  edge  = "list"
  way   = "down"
  share = 0.1
  tag   = "cut off"
}
at "11s" {
  do     = "drain"
  target = 0
}
at "13s" {
  do     = "replace"
  target = 0
}
at "14s" {
  do    = "mark"
  share = 0.1
  tag   = "miss the signal"
}
at "15s" {
  do     = "set"
  file   = "changed.json"
  signal = true
  but    = "miss the signal"
}
at "16s" {
  do   = "want" # the newest list, and the file of most
  time = "30s"
}
at "20s" {
  do  = "continue"
  tag = "stopped"
}
at "25s" {
  do   = "heal"
  edge = "list"
  tag  = "cut off"
}
