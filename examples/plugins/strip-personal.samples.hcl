sample "at the top" {
  body = "{\"name\":\"A. Tamm\",\"personal_code\":\"38001010000\"}"
  want {
    body = "{\"name\":\"A. Tamm\"}"
  }
}

sample "in a list of signatures" {
  body = "{\"signatures\":[{\"name\":\"A\",\"phone\":\"5\"},{\"name\":\"B\"}]}"
  want {
    body = "{\"signatures\":[{\"name\":\"A\"},{\"name\":\"B\"}]}"
  }
}

sample "nothing personal" {
  body = "{\"name\":\"A. Tamm\"}"
}
