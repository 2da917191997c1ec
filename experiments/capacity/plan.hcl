# The size that the operators expect within two years (issue 39). Each name says its unit; MB and KB are 10^6 and 10^3 bytes.
forwarders                    = 6800
events_per_second             = 980000
destinations                  = 2200000
destinations_down_percent     = 1.5
backlog_events                = 87000000000
regions                       = 5
zones                         = 13
configuration_changes_per_day = 8500
change_in_force_seconds       = 8

# What control may cost.
allowed {
  forwarder_cores            = 0.049
  forwarder_bytes            = 32000000
  forwarder_bytes_per_second = 3000
  forwarder_ready_seconds    = 10
  control_servers            = 5
  control_servers_alive      = 3           # two of them dead
  control_server_cores       = 8           # as the machine of the measurements
  control_server_bytes       = 24000000000 # as well
  forwarder_machine_bytes    = 24000000000 # as well: for messages that are queued; not control's
  largest_part_of_mean       = 1.25
  moved_of_own_part          = 1.2
}

failures {
  machines_per_day      = 24
  restarts_per_day      = 700
  racks_per_week        = 1
  zones_per_month       = 0.5
  region_cuts_per_year  = 4   # "several times a year"
  region_cut_seconds    = 180 # "for minutes"
  forwarders_in_machine = 1   # not said by the operators
  forwarders_in_rack    = 40  # not said by the operators
}

# How the mechanism of docs/ownership.md would be set.
partial_list {
  partitions              = 2097152 # 2^21: with 2^16 a part is some 29 partitions, and the largest far over the mean
  replicas                = 3
  fetched_destinations    = 256
  lookup_bytes_per_second = 1500 # of the 3 KB/s
}

# Bounds of the program; a test holds them against the code.
limits {
  list_answer_bytes = 67108864
  members           = 4096  # that gossip
  control_members   = 65536 # with leases
}
