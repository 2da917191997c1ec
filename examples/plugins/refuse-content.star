# Messages that an organiser would turn down are not sent at all: their client hears why at once.

REQUIRED = ["petition", "signed_at"]

def intake(message):
    fields = json.decode(message.body, None)
    if type(fields) != "dict":
        return refuse("the body is no JSON object")
    missing = [name for name in REQUIRED if name not in fields]
    if missing:
        count("refused")
        return refuse("missing: " + ", ".join(missing))
    if fields.get("embargo"):
        return refuse("not before the session", retry_after = "30s")
    return None
