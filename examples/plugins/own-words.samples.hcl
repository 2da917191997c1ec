sample "full, with a time" {
  point = "reply"
  reply {
    status = 200
    body   = "Sorry, try again in 5 s."
  }
  want {
    not_delivered = true
    wait          = "5s"
  }
}

sample "full" {
  point = "reply"
  reply {
    status = 200
    body   = "QUEUE FULL"
  }
  want {
    not_delivered = true
    wait          = "2s"
  }
}

sample "taken" {
  point = "reply"
  reply {
    status = 200
    body   = "OK"
  }
}

sample "a wait is no longer than plug-ins may ask for" {
  point = "reply"
  reply {
    status = 200
    body   = "try again in 99999 s"
  }
  want {
    error = "at most 5m0s"
  }
}
