sample "the field is renamed" {
  body = "{\"municipality\":\"Tartu\",\"count\":12}"
  want {
    body = "{\"council\":\"Tartu\",\"count\":12}"
  }
}

sample "without the field nothing is changed" {
  body = "{\"count\":12}"
}

sample "what is no JSON goes on as it is" {
  body = "municipality"
}

sample "a list is no object" {
  body = "[\"municipality\"]"
}
