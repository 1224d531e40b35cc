package marigoldward.core.replication

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentMap
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId

private val PLANNER = MembershipPlanner(targetVoters = 3, replaceAfterMillis = 10_000)
private val WEST = DataCentre.parse("west")
private val EAST = DataCentre.parse("east")

private fun id(name: String, incarnation: Long = 1): ReplicaId = ReplicaId(InstanceId.parse(name), incarnation)

private fun joiningReplica(
    name: String,
    incarnation: Long = 1,
    dataCentre: DataCentre = WEST,
): MembershipPlanner.JoiningReplica = MembershipPlanner.JoiningReplica(id(name, incarnation), dataCentre)

/** Returns the state of the leader "a". Members without an entry in [lastReplies] last replied at [NOW_MILLIS]. */
private fun leader(members: Members, lastReplies: Map<ReplicaId, Long>): ReplicaState {
    val log = ReplicaLog.fromEntries(SnapshotPoint(0, 0, members), emptyList())
    val progress =
        (members.all - id("a")).associateWith { ReplicaRole.Progress(1, 2, lastReplies[it] ?: NOW_MILLIS, 1) }
    val state = ReplicaState.fromDisk(id("a"), ReplicationTiming.FAST_FAILOVER, HardState.INITIAL, log, 0, 1)
    return state.copy(role = ReplicaRole.Leader(progress.toPersistentMap(), 1, 0, persistentListOf()))
}

private const val NOW_MILLIS = 20_000L
private const val CATCH_UP_MILLIS = 4_000L

class MembershipPlannerTest :
    DescribeSpec({
        val threeVoters = Members(setOf(id("a"), id("b"), id("c")))

        describe("a planner for three voters") {
            it("changes nothing while all voters reply, even if a replica asks to join") {
                PLANNER.nextChangeOrNull(
                    leader(threeVoters, emptyMap()),
                    listOf(joiningReplica("d")),
                    emptyMap(),
                    NOW_MILLIS,
                )
                    .shouldBeNull()
            }
            it("adds the new incarnation of a replica that lost its disk as a learner") {
                PLANNER.nextChangeOrNull(
                    leader(threeVoters, emptyMap()),
                    listOf(joiningReplica("c", 7)),
                    emptyMap(),
                    NOW_MILLIS,
                ) shouldBe
                    MemberChange.AddLearner(id("c", 7))
            }
            it("removes the old incarnation once the new one is a learner") {
                val members = threeVoters.copy(learners = setOf(id("c", 7)))
                PLANNER.nextChangeOrNull(leader(members, emptyMap()), emptyList(), emptyMap(), NOW_MILLIS) shouldBe
                    MemberChange.Remove(id("c"))
            }
            it("promotes a learner if there are too few voters") {
                val members = Members(setOf(id("a"), id("b")), setOf(id("c", 7)))
                PLANNER.nextChangeOrNull(leader(members, emptyMap()), emptyList(), emptyMap(), NOW_MILLIS) shouldBe
                    MemberChange.Promote(id("c", 7))
            }
            it("replaces a silent voter only after the configured time") {
                val shortSilence = leader(threeVoters, mapOf(id("c") to NOW_MILLIS - 9_000))
                PLANNER.nextChangeOrNull(
                    shortSilence,
                    listOf(joiningReplica("d")),
                    emptyMap(),
                    NOW_MILLIS,
                ).shouldBeNull()
                val longSilence = leader(threeVoters, mapOf(id("c") to NOW_MILLIS - 10_000))
                PLANNER.nextChangeOrNull(longSilence, listOf(joiningReplica("d")), emptyMap(), NOW_MILLIS) shouldBe
                    MemberChange.AddLearner(id("d"))
            }
            // The loss of another disk between a removal and the promotion after it ended the quorum for good.
            it("removes a silent voter only once its replacement votes") {
                val members = threeVoters.copy(learners = setOf(id("d")))
                val silent = mapOf(id("c") to 0L)
                PLANNER.nextChangeOrNull(leader(members, silent), emptyList(), emptyMap(), NOW_MILLIS) shouldBe
                    MemberChange.Promote(id("d"))
                val fourVoters = Members(threeVoters.voters + id("d"))
                PLANNER.nextChangeOrNull(leader(fourVoters, silent), emptyList(), emptyMap(), NOW_MILLIS) shouldBe
                    MemberChange.Remove(id("c"))
            }
            it("removes the voter that was silent for longest if there is one too many, and a joining one waits") {
                val fourVoters = Members(threeVoters.voters + id("d"))
                val replies = mapOf(id("b") to NOW_MILLIS - 50, id("c") to NOW_MILLIS - 100)
                PLANNER.nextChangeOrNull(
                    leader(fourVoters, replies),
                    listOf(joiningReplica("e")),
                    emptyMap(),
                    NOW_MILLIS,
                ) shouldBe
                    MemberChange.Remove(id("c"))
            }
            it("leaves an odd number of voters as it is, also if it is higher than intended") {
                val fiveVoters = Members(threeVoters.voters + id("d") + id("e"))
                PLANNER.nextChangeOrNull(leader(fiveVoters, emptyMap()), emptyList(), emptyMap(), NOW_MILLIS)
                    .shouldBeNull()
            }
            it("prefers a joining replica in the data centre with the fewest voters") {
                val longSilence = leader(threeVoters, mapOf(id("c") to 0))
                val dataCentres = mapOf(id("a").name to WEST, id("b").name to WEST)
                val candidates = listOf(joiningReplica("d"), joiningReplica("e", dataCentre = EAST))
                PLANNER.nextChangeOrNull(longSilence, candidates, dataCentres, NOW_MILLIS) shouldBe
                    MemberChange.AddLearner(id("e"))
            }
            it("removes a learner that lost its disk again") {
                val members = threeVoters.copy(learners = setOf(id("c", 7)))
                PLANNER.nextChangeOrNull(
                    leader(members, emptyMap()),
                    listOf(joiningReplica("c", 8)),
                    emptyMap(),
                    NOW_MILLIS,
                ) shouldBe
                    MemberChange.Remove(id("c", 7))
            }
        }
        // A removed voter was kept for 10 s, so that the loss of one more disk ended the quorum.
        describe("the time until a silent voter is replaced") {
            it("leaves half of the time in which a new replica has to catch up for the changes") {
                MembershipPlanner.forToleratedFailures(1, CATCH_UP_MILLIS).replaceAfterMillis shouldBe 2_000
                MembershipPlanner.forToleratedFailures(2, 6_000).replaceAfterMillis shouldBe 3_000
            }
        }
        describe("the number of voters") {
            it("tolerates the given number of failures and is at most seven") {
                MembershipPlanner.forToleratedFailures(1, CATCH_UP_MILLIS).targetVoters shouldBe 3
                MembershipPlanner.forToleratedFailures(2, CATCH_UP_MILLIS).targetVoters shouldBe 5
                MembershipPlanner.forToleratedFailures(9, CATCH_UP_MILLIS).targetVoters shouldBe 7
            }
        }
    })
