# 30 forwarders (--forwarders 300), next to no messages, nothing that happens for ten minutes: what gossip costs, and whom it names by mistake.
forwarders   = 30
destinations = 2
targets      = 3
rate         = 0.05
for          = "10m"
left         = "2s"
gossip       = true
operators    = "operators.json"
