package marigoldward.core.dispatch

/** What an upstream says of its load with an answer: requests that run, that wait, and that it can run at once. */
public data class ReportedLoad(val running: Int, val waiting: Int, val slots: Int)
