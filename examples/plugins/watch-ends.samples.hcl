sample "it only looks on" {
  point       = "final"
  id          = "7f"
  destination = 7
  end         = "failed"
}
