# 100 forwarders of which none ever hears of another, nobody wants anything, and no door is asked for more than figures: the control side is dead. For comparison: --off.
forwarders   = 100
destinations = 3
targets      = 4
rate         = 5
for          = "40s"
gossip       = true
operators    = "operators.json"

at "0s" {
  do   = "cut"
  edge = "members"
}
at "10s" {
  do    = "stop"
  share = 0.1
  tag   = "stopped"
}
at "11s" {
  do     = "drain"
  target = 0
}
at "12s" {
  do    = "silence"
  edge  = "list"
  way   = "down"
  share = 0.1
  tag   = "cut off"
}
at "15s" {
  do  = "continue"
  tag = "stopped"
}
at "30s" {
  do   = "heal"
  edge = "list"
  tag  = "cut off"
}
