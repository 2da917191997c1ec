# Eight forwarders and one of everything, in a few seconds: a first look.
forwarders   = 8
destinations = 2
targets      = 3
rate         = 20
for          = "6s"
left         = "2s"
gossip       = true
operators    = "operators.json"

at "1s" {
  do   = "stop"
  who  = ["n2"]
  tag  = "stopped"
}
at "1500ms" {
  do     = "drain"
  target = 1
}
at "2s" {
  do     = "restart"
  who    = ["n5"]
  folder = "lost"
}
at "2s" {
  do   = "reset"
  edge = "targets"
  who  = ["n4"]
  odds = 0.05
}
at "3500ms" {
  do  = "continue"
  tag = "stopped"
}
at "4s" {
  do   = "heal"
  edge = "targets"
}
