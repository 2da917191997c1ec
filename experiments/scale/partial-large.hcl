# Partial lists in a fleet three times as large as the largest of partial.hcl: one seed, as a thousand simulated nodes take all of one machine.
mechanism          = "partial"
seeds              = [1]
window             = "10s"
changes_per_second = 5
real_forwarders    = 1
control_servers    = 3
kill_control       = true
leave_forwarder    = true

sweep "partial-large" {
  forwarders                 = [1000]
  destinations_per_forwarder = [300]
}
