# This organiser says 200 whatever happens, and in the body that it is full. Such a delivery may be none, and the wait is heeded.

def reply(message, reply):
    full = re.find("(?i)queue full|try again in ([0-9]+) ?s", reply.body)
    if reply.status != 200 or full == None:
        return None
    return not_delivered(wait = (full[1] or "2") + "s")
