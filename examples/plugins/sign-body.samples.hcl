sample "the hash goes along" {
  body = "{}"
  want {
    header = { "X-Signature" = "sha256=1d1f15707d64128dcee7dba0f70936208041e81cf9eba549047355a6beeae806" }
  }
}
