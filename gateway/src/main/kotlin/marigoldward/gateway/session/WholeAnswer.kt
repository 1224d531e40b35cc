package marigoldward.gateway.session

import marigoldward.gateway.Dialect
import marigoldward.gateway.message.AnswerHead
import java.io.ByteArrayOutputStream

/** Collects an upstream's answer until it is whole. */
internal abstract class WholeAnswer : UpstreamTry.Listener {
    protected lateinit var head: AnswerHead
        private set
    protected lateinit var facts: Dialect.AnswerFacts
        private set
    private val collected = ByteArrayOutputStream()

    /** What has come of the body. */
    protected val body: ByteArray get() = collected.toByteArray()

    override fun onHead(head: AnswerHead, facts: Dialect.AnswerFacts) {
        this.head = head
        this.facts = facts
    }

    override fun onData(data: ByteArray) = collected.writeBytes(data)
}
