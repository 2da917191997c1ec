# A sample of an operators' file, for other installations; nothing on this platform reads it.
# docs/configuration.md has every key.

env "SCALEROUTE_DURABILITY" {
  default = "group"
}

journal {
  durability = env.SCALEROUTE_DURABILITY # +OK is told only when a sync has covered the message
}
