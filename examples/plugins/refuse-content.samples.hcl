sample "a field is missing" {
  body = "{\"petition\":1}"
  want {
    refused = "missing: signed_at"
  }
}

sample "no JSON" {
  body = "petition"
  want {
    refused = "the body is no JSON object"
  }
}

sample "it may come again" {
  body = "{\"petition\":1,\"signed_at\":\"2026-12-01\",\"embargo\":true}"
  want {
    refused = "not before the session"
    wait    = "30s"
  }
}

sample "complete" {
  body = "{\"petition\":1,\"signed_at\":\"2026-12-01\"}"
}
