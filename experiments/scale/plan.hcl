# Partial lists by destinations, up to all of the plan's, in a fleet of the plan's size: most of its members hold a lease and nothing else, so that parts are as large as they would be.
mechanism          = "partial"
seeds              = [1, 2, 3]
window             = "10s"
changes_per_second = 100
real_forwarders    = 1
control_servers    = 3
partitions         = 2097152
kill_control       = true

sweep "plan-destinations" {
  forwarders   = [20]
  members      = 6800
  destinations = [66000, 220000, 660000, 2200000]
}
