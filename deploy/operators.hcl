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

pool "tartu" {
  destination = 12
  endpoint "tartu-1" {
    address = "127.0.0.1:8081"
  }
  endpoint "tartu-2" {
    address = "127.0.0.1:8082"
    backup  = true # only while tartu-1 fails or is away
  }
}

route "campaign of tartu" {
  fields = { campaign = "tartu-*" } # what clients say beside class and destination
  pool   = "council"
}

pool "council" { # no destination: only routes lead here
  endpoint "council-1" {
    address = "127.0.0.1:8083"
    weight  = 3
  }
  endpoint "council-2" {
    address = "127.0.0.1:8084"
  }
}

limits "council" {
  routes = ["campaign of tartu"]
  answer = "800ms"
}

limits "tartu" {
  destinations = [12]
  rate         = "20/s"
  out          = 8
  connect      = "200ms"
}
