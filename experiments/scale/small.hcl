# A first look at the whole list, in half a minute.
mechanism          = "whole"
seeds              = [1]
window             = "3s"
changes_per_second = 5
real_forwarders    = 1

sweep "destinations" {
  forwarders   = [2]
  destinations = [200, 600]
}
