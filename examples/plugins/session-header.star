# Each attempt of an update tells which one it is, for the organiser's log. Only classes that are safe to repeat have the hook call.

def call(message):
    return change(header = {"X-Attempt": str(message.attempt + 1)})
