package marigoldward.wire.peer

import kotlinx.serialization.Serializable
import marigoldward.core.model.InstanceId

/**
 * Answers a [JoinAnnouncement].
 *
 * @property isTaken whether the announcement was noted
 * @property leader the instance that leads as far as is known there, or null
 * @property members the instances that are members as far as is known there
 */
@Serializable
public data class JoinReply(val isTaken: Boolean, val leader: InstanceId?, val members: List<InstanceId>)
