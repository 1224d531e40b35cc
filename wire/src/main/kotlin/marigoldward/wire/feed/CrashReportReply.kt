package marigoldward.wire.feed

import kotlinx.serialization.Serializable
import marigoldward.core.model.InstanceId

/**
 * The reply to a [CrashReport].
 *
 * @property isCommitted whether the whole report is part of the replicated state
 * @property leader the instance to send the report to otherwise, or null if none is known to lead
 */
@Serializable
public data class CrashReportReply(val isCommitted: Boolean, val leader: InstanceId?)
