sample "a council's own endpoint comes first" {
  body = "{\"council\":\"Tartu\"}"
  endpoint "narva-1" {}
  endpoint "tartu-1" {}
  want {
    prefer = ["tartu-1"]
  }
}

sample "what is binding goes nowhere else" {
  body = "{\"council\":\"Tartu\",\"binding\":true}"
  endpoint "narva-1" {}
  endpoint "tartu-1" {}
  endpoint "tartu-2" {}
  want {
    only = ["tartu-1", "tartu-2"]
  }
}

sample "its endpoint drains, and is not shown" {
  body = "{\"council\":\"Tartu\",\"binding\":true}"
  endpoint "narva-1" {}
}
