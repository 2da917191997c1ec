# 300 forwarders that lose three packets in ten of what they tell each other: 100 of them vanish within a second, and are back 20 s later. How soon each is missed, and whether anybody else is.
forwarders   = 300
destinations = 2
targets      = 3
rate         = 0.05
for          = "75s"
left         = "2s"
gossip       = true
operators    = "operators.json"

at "5s" {
  do   = "lose"
  edge = "members"
  odds = 0.3
}
at "30s" {
  do    = "kill"
  share = 0.34
  tag   = "gone"
}
at "50s" {
  do  = "restart"
  tag = "gone"
}
