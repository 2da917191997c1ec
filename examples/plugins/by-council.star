# An organiser has an endpoint for each council, and takes the rest at any. What a council's endpoint is called begins with its name.

def intake(message):
    fields = json.decode(message.body, None)
    if type(fields) != "dict":
        return None
    council = fields.get("council")
    if type(council) != "string":
        return None
    own = [e.name for e in message.endpoints if e.name.startswith(council.lower() + "-")]
    if not own:
        return None
    if fields.get("binding"):
        return change(only = own)
    return change(prefer = own)
