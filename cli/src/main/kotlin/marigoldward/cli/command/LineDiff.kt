package marigoldward.cli.command

/** A line-by-line diff of two texts, based on their longest common subsequence. */
internal object LineDiff {
    /** Returns the differing lines in order: those only in [old] prefixed with `-`, those only in [new] with `+`. */
    fun between(old: List<String>, new: List<String>): List<String> {
        val lengths = commonSubsequenceLengths(old, new)
        val result = ArrayList<String>()
        var oldIndex = 0
        var newIndex = 0
        while (oldIndex < old.size || newIndex < new.size) {
            when {
                oldIndex < old.size && newIndex < new.size && old[oldIndex] == new[newIndex] -> {
                    oldIndex++
                    newIndex++
                }
                newIndex == new.size ||
                    (oldIndex < old.size && lengths[oldIndex + 1][newIndex] >= lengths[oldIndex][newIndex + 1]) ->
                    result.add("-${old[oldIndex++]}")
                else -> result.add("+${new[newIndex++]}")
            }
        }
        return result
    }

    /**
     * Returns a table of the lengths of common subsequences.
     *
     * The element at `[oldIndex][newIndex]` is for the rest of [old] from `oldIndex` and the rest of [new] from
     * `newIndex`.
     */
    private fun commonSubsequenceLengths(old: List<String>, new: List<String>): Array<IntArray> {
        val lengths = Array(old.size + 1) { IntArray(new.size + 1) }
        for (oldIndex in old.indices.reversed()) {
            for (newIndex in new.indices.reversed()) {
                lengths[oldIndex][newIndex] =
                    if (old[oldIndex] == new[newIndex]) {
                        lengths[oldIndex + 1][newIndex + 1] + 1
                    } else {
                        maxOf(lengths[oldIndex + 1][newIndex], lengths[oldIndex][newIndex + 1])
                    }
            }
        }
        return lengths
    }
}
