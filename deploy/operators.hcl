# A sample of an operators' file, for other installations; nothing on this platform reads it.
# docs/configuration.md has every key.

env "SCALEROUTE_DURABILITY" {
  default = "group"
}

journal {
  durability = env.SCALEROUTE_DURABILITY # +OK is told only when a sync has covered the message
}

limits "handovers" {
  classes  = ["signature-handover"]
  attempts = 3
}

limits "slow organiser" {
  destinations = [12]
  answer       = "800ms" # its own system answers within 500 ms
  held         = 2000
}
