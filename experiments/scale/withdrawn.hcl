# The same as the destinations of whole.hcl at one size, with the file of withdrawn endpoints that a forwarder writes at each change: what that costs of the processor.
mechanism          = "whole"
seeds              = [1, 2, 3]
window             = "8s"
changes_per_second = 5
real_forwarders    = 1
keep_withdrawn     = true

sweep "withdrawn" {
  forwarders   = [1]
  destinations = [6000]
}
