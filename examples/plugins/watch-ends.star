# Counts what becomes of signature handovers, for scaleroutectl plugin status. An observer changes nothing.

def final(message, end):
    count(end)
    if end == "failed":
        log("%s to %d failed" % (message.id, message.destination))
