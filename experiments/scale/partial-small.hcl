# A first look at partial lists, in half a minute.
mechanism          = "partial"
seeds              = [1]
window             = "6s"
changes_per_second = 5
real_forwarders    = 1
control_servers    = 2
kill_control       = true
leave_forwarder    = true

sweep "small" {
  forwarders   = [10]
  destinations = [2000]
}
