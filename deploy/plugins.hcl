# A sample with plug-ins, for other installations; nothing on this platform reads it. docs/plugins.md has every key.

plugin "rename field" {
  file         = "../examples/plugins/rename-field.star"
  destinations = [7, 12]
  order        = 1
}

plugin "own words" {
  file         = "../examples/plugins/own-words.star"
  destinations = [12]
}

plugin "refuse content" {
  file       = "../examples/plugins/refuse-content.star"
  classes    = ["signature-handover"]
  order      = 2
  on_failure = "pass" # the organiser turns down what this would have
}

plugin "session header" {
  file    = "../examples/plugins/session-header.star"
  classes = ["status-update"] # safe to repeat: only such messages may differ from attempt to attempt
}

plugins {
  status = "/run/scaleroute/plugins.json"
}
