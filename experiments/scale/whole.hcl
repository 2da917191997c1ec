# What the whole list costs each forwarder, before partial lists: by destinations, with one simulated node in a process of its own beside a real forwarder, so that the two can be held
# against each other; and by forwarders.
mechanism          = "whole"
seeds              = [1, 2, 3]
window             = "8s" # two holds of a watch
changes_per_second = 5
real_forwarders    = 1

sweep "destinations" {
  forwarders   = [1]
  destinations = [2000, 6000, 20000, 60000]
}

sweep "forwarders" {
  forwarders   = [10, 30, 100, 300]
  destinations = [2000]
}
