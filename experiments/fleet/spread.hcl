# 100 forwarders with three messages a second each, and one destination of 30 targets: how evenly the sum of their calls goes there, and how many connections that takes (docs/even-load.md).
forwarders   = 100
destinations = 1
targets      = 30
rate         = 3
for          = "40s"
latency      = "20ms"
