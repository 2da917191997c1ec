include = ["operators.hcl"]

limits "few" {
  attempts = 4
}
