# The organiser checks that a body comes from us by a keyed hash of it. The key is theirs to give; keep this file from others.

KEY = "change me"

def intake(message):
    return change(header = {"X-Signature": "sha256=" + hash.hmac_sha256(KEY, message.body)})
