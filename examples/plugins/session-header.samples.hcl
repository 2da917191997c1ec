sample "the second attempt" {
  point   = "call"
  to      = "s-1"
  attempt = 1
  body    = "x"
  want {
    header = { "X-Attempt" = "2" }
  }
}
