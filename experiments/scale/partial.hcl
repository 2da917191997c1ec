# Partial lists by forwarders, at a fixed number of destinations for each of them.
mechanism          = "partial"
seeds              = [1, 2, 3]
window             = "10s"
changes_per_second = 5
real_forwarders    = 1
control_servers    = 3
kill_control       = true
leave_forwarder    = true

sweep "partial-forwarders" {
  forwarders                 = [10, 30, 100, 300, 1000]
  destinations_per_forwarder = [300]
}
