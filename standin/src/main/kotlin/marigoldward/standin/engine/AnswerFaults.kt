package marigoldward.standin.engine

/**
 * Faults that an emulated engine puts into its answers.
 *
 * @property hasWrongRequestId whether answers carry the id of another request
 * @property hasRepeatedTokens whether each token is sent twice
 */
internal data class AnswerFaults(val hasWrongRequestId: Boolean, val hasRepeatedTokens: Boolean) {
    companion object {
        val NONE: AnswerFaults = AnswerFaults(hasWrongRequestId = false, hasRepeatedTokens = false)
    }
}
