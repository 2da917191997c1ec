# One council's system calls the field "municipality" by another name.

def intake(message):
    fields = json.decode(message.body, None)
    if type(fields) != "dict" or "municipality" not in fields:
        return None
    fields["council"] = fields.pop("municipality")
    return change(body = json.encode(fields))
