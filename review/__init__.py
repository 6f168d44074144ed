"""Cases of the independent review, and the frame and stand-ins that they share."""
