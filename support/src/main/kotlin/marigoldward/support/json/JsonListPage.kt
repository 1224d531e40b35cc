package marigoldward.support.json

/**
 * A page with a list whose entries are read one by one, so that an entry that is malformed in any way hides no other.
 *
 * @property frame the page with an empty list
 * @property entries the bytes of the entries that have a beginning and an end, in order; each may still be malformed
 * @property skipped the number of places where the list has something of which the end can't be told
 */
internal class JsonListPage private constructor(val frame: ByteArray, val entries: List<ByteArray>, val skipped: Int) {
    /**
     * Divides one page, which is ASCII outside of its strings.
     *
     * An entry whose tokens follow each other as in JSON ends where its brackets are closed. Any other ends before the
     * next object that follows a comma or another object, that has an end and that is followed by a comma, an object or
     * the end of the list. The list ends where what follows completes the page, with [otherField] if an entry before has no
     * end, as a list within that entry may be at the end of a page that was cut off.
     */
    private class Division(private val page: ByteArray, private val listIndex: Int, private val otherField: String?) {
        private val scan = JsonTokenScan(page)
        private val entries = ArrayList<ByteArray>()
        private var skipped = 0

        /** The scanned bytes after which the page is given up, which keeps the time linear in its length. */
        private val maxScannedBytes = page.size.toLong() * MAX_SCANS + MIN_SCANNED_BYTES

        /** Returns the page, or null if its list has no end. */
        fun resultOrNull(): JsonListPage? {
            var index = scan.skipBlank(listIndex + 1)
            while (index < page.size && scan.scannedBytes <= maxScannedBytes) {
                if (isEndOfList(index)) {
                    return JsonListPage(
                        page.copyOf(listIndex + 1) + page.copyOfRange(index, page.size),
                        entries,
                        skipped,
                    )
                }
                val end = scan.endOfValueOrNull(index)?.takeIf(::isEndOfEntry)
                if (end == null) {
                    skipped++
                    index = nextEntryOrEnd(index + 1)
                } else {
                    entries.add(page.copyOfRange(index, end))
                    index = afterComma(end)
                }
            }
            return null
        }

        private fun isEndOfEntry(end: Int): Boolean {
            val next = scan.skipBlank(end)
            return scan.isAt(next, ',') || scan.isAt(next, '{') || isEndOfList(next)
        }

        private fun afterComma(end: Int): Int {
            val next = scan.skipBlank(end)
            return if (scan.isAt(next, ',')) scan.skipBlank(next + 1) else next
        }

        private fun isEndOfList(index: Int): Boolean = scan.isAt(index, ']') &&
            scan.completesObject(index + 1) &&
            (skipped == 0 || otherField == null || scan.hasField(otherField, listIndex, index))

        /** Returns the index of the first entry at [from] or later, of the end of the list, or of the end of the page. */
        private fun nextEntryOrEnd(from: Int): Int {
            var index = from
            while (index < page.size && scan.scannedBytes <= maxScannedBytes) {
                if (isEndOfList(index) || isBeginOfEntry(index)) return index
                index++
            }
            return page.size
        }

        private fun isBeginOfEntry(index: Int): Boolean {
            if (!scan.isAt(index, '{') || !scan.followsAny(index, ",}")) return false
            return scan.endOfValueOrNull(index)?.let(::isEndOfEntry) ?: false
        }
    }

    /** Divides pages. */
    companion object {
        private const val MAX_SCANS = 16
        private const val MIN_SCANNED_BYTES = 65_536L

        /**
         * Returns the page in [content], whose list is the field [field] of the object that it consists of, or null if there
         * is no such list or its end can't be told. [otherField] is another field that each page has, or null.
         */
        fun divideOrNull(content: ByteArray, field: String, otherField: String?): JsonListPage? {
            val listIndex = JsonTokenScan(content).listIndexOrNull(field) ?: return null
            return Division(content, listIndex, otherField).resultOrNull()
        }
    }
}
