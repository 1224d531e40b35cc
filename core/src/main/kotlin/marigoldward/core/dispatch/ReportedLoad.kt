package marigoldward.core.dispatch

/**
 * The load that an upstream reports with an answer: running requests, waiting requests, and the slots for running ones.
 */
public data class ReportedLoad(val running: Int, val waiting: Int, val slots: Int)
