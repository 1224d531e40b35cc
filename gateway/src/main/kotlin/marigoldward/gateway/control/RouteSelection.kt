package marigoldward.gateway.control

import marigoldward.core.Outcome
import marigoldward.core.routes.RouteConfiguration
import marigoldward.core.routes.RouteDocument
import marigoldward.core.routes.RouteDocumentReader
import marigoldward.support.bytes.Gzip
import java.io.IOException

/**
 * Decides which of the route documents that control instances send is put in force: the newest that this process can
 * read, never an older one than that in force.
 *
 * The first must come from an instance with fresh state. If none was found within
 * [FRESH_CONFIGURATION_TIMEOUT_MILLIS] after the start, it is the newest of those that were sent.
 *
 * A document that cannot be read as a whole is not put in force in part, as requests for the routes left out would be
 * refused. The configuration before it stays in force. The document is read again when it is sent again, which is when
 * another stream of updates begins.
 *
 * Has no clock of its own and is not thread-safe.
 */
internal class RouteSelection(private val reader: RouteDocumentReader, private val startedMillis: Long) {
    private var versionInForce: Long? = null

    /** The newest document from instances whose state is not fresh, so that there may be a newer one. */
    private var possiblyOutdated: RouteDocument? = null

    /** The newest version that was sent and could not be read, or null if none is newer than the one in force. */
    var unreadableVersion: Long? = null
        private set

    /** What came of a document that was read. */
    sealed interface Selection {
        /** [configuration] is to be put in force. */
        data class Selected(val configuration: RouteConfiguration) : Selection

        /** The document with [version] cannot be read because of [problem]. */
        data class Unreadable(val version: Long, val problem: String) : Selection
    }

    /** Returns what came of [document], or null if it is not newer than the one in force or has to wait. */
    fun considerOrNull(document: RouteDocument, isFresh: Boolean, nowMillis: Long): Selection? {
        val current = versionInForce
        return when {
            current != null && document.version <= current -> null
            current == null && !isFresh && !isWaitOver(nowMillis) -> {
                possiblyOutdated = newer(possiblyOutdated, document)
                null
            }
            else -> {
                val waiting = possiblyOutdated
                val newest = newer(waiting, document)
                read(newest, older = if (newest === document) waiting else document)
            }
        }
    }

    /** Returns what came of the document that waits, or null if there is none or it has to wait on. */
    fun considerWaitingOrNull(isFresh: Boolean, nowMillis: Long): Selection? =
        possiblyOutdated?.takeIf { isFresh || isWaitOver(nowMillis) }?.let { read(it, older = null) }

    private fun isWaitOver(nowMillis: Long): Boolean = nowMillis - startedMillis > FRESH_CONFIGURATION_TIMEOUT_MILLIS

    private fun newer(first: RouteDocument?, second: RouteDocument): RouteDocument =
        first?.takeIf { it.version > second.version } ?: second

    /** Reads [document]. If that fails and there is no configuration in force, [older] waits in its place. */
    private fun read(document: RouteDocument, older: RouteDocument?): Selection {
        val selection = when (val read = decompress(document)) {
            is Outcome.Success -> select(document, read.value)
            is Outcome.Failure -> unreadable(document, read.error)
        }
        possiblyOutdated = older.takeIf { versionInForce == null }
        return selection
    }

    private fun select(document: RouteDocument, content: ByteArray): Selection =
        when (val read = reader.read(content)) {
            is Outcome.Success -> {
                versionInForce = document.version
                unreadableVersion = unreadableVersion?.takeIf { it > document.version }
                Selection.Selected(read.value)
            }
            is Outcome.Failure -> unreadable(document, read.error.message)
        }

    private fun unreadable(document: RouteDocument, problem: String): Selection {
        unreadableVersion = maxOf(unreadableVersion ?: document.version, document.version)
        return Selection.Unreadable(document.version, problem)
    }

    private fun decompress(document: RouteDocument): Outcome<ByteArray, String> = try {
        Outcome.Success(Gzip.decompress(document.compressed, RouteDocument.MAX_CONTENT_BYTES))
    } catch (failure: IOException) {
        Outcome.Failure("the document is damaged: ${failure.message}")
    }

    companion object {
        /** How long a gateway without a configuration waits for one from a control instance with fresh state. */
        const val FRESH_CONFIGURATION_TIMEOUT_MILLIS: Long = 3_000L
    }
}
