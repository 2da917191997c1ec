# What the forwarders of the scenarios in this folder have set.
fleet {
  ledger = "1MiB"
  fence  = "1s"
  share  = 0.2
  gossip {
    join = ["127.0.0.1:7946"] # the lab names another
  }
}
