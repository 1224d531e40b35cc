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

private fun newcomer(name: String, incarnation: Long = 1, place: DataCentre = WEST): MembershipPlanner.Newcomer =
    MembershipPlanner.Newcomer(id(name, incarnation), place)

/** The state of the leader "a" at 20 s, which last heard each other member at the given time, in milliseconds. */
private fun leader(members: Members, heard: Map<ReplicaId, Long>): ReplicaState {
    val log = ReplicaLog.fromEntries(SnapshotPoint(0, 0, members), emptyList())
    val progress = (members.all - id("a")).associateWith { ReplicaRole.Progress(1, 2, heard[it] ?: NOW_MILLIS, 1) }
    val state = ReplicaState.fromDisk(id("a"), ReplicationTiming.PROMPT, HardState.INITIAL, log, 0, 1)
    return state.copy(role = ReplicaRole.Leader(progress.toPersistentMap(), 1, 0, persistentListOf()))
}

private const val NOW_MILLIS = 20_000L

class MembershipPlannerTest :
    DescribeSpec({
        val three = Members(setOf(id("a"), id("b"), id("c")))

        describe("a planner for three voters") {
            it("changes nothing while all is well, whoever waits") {
                PLANNER.nextChangeOrNull(leader(three, emptyMap()), listOf(newcomer("d")), emptyMap(), NOW_MILLIS)
                    .shouldBeNull()
            }
            it("takes in the new incarnation of a replica that lost its disk") {
                PLANNER.nextChangeOrNull(
                    leader(three, emptyMap()),
                    listOf(newcomer("c", 7)),
                    emptyMap(),
                    NOW_MILLIS,
                ) shouldBe
                    MemberChange.AddLearner(id("c", 7))
            }
            it("removes the old incarnation once the new one is a learner") {
                val members = three.copy(learners = setOf(id("c", 7)))
                PLANNER.nextChangeOrNull(leader(members, emptyMap()), emptyList(), emptyMap(), NOW_MILLIS) shouldBe
                    MemberChange.Remove(id("c"))
            }
            it("gives a learner a vote where one is missing") {
                val members = Members(setOf(id("a"), id("b")), setOf(id("c", 7)))
                PLANNER.nextChangeOrNull(leader(members, emptyMap()), emptyList(), emptyMap(), NOW_MILLIS) shouldBe
                    MemberChange.Promote(id("c", 7))
            }
            it("replaces a voter only after a long silence") {
                val short = leader(three, mapOf(id("c") to NOW_MILLIS - 9_000))
                PLANNER.nextChangeOrNull(short, listOf(newcomer("d")), emptyMap(), NOW_MILLIS).shouldBeNull()
                val long = leader(three, mapOf(id("c") to NOW_MILLIS - 10_000))
                PLANNER.nextChangeOrNull(long, listOf(newcomer("d")), emptyMap(), NOW_MILLIS) shouldBe
                    MemberChange.AddLearner(id("d"))
            }
            it("prefers a newcomer of the data centre that has the fewest voters") {
                val long = leader(three, mapOf(id("c") to 0))
                val places = mapOf(id("a").name to WEST, id("b").name to WEST)
                val waiting = listOf(newcomer("d"), newcomer("e", place = EAST))
                PLANNER.nextChangeOrNull(long, waiting, places, NOW_MILLIS) shouldBe MemberChange.AddLearner(id("e"))
            }
            it("gives up a learner that lost its disk once more") {
                val members = three.copy(learners = setOf(id("c", 7)))
                PLANNER.nextChangeOrNull(
                    leader(members, emptyMap()),
                    listOf(newcomer("c", 8)),
                    emptyMap(),
                    NOW_MILLIS,
                ) shouldBe
                    MemberChange.Remove(id("c", 7))
            }
        }
        describe("the number of voters") {
            it("bears the losses and is at most seven") {
                MembershipPlanner.forLosses(1).targetVoters shouldBe 3
                MembershipPlanner.forLosses(2).targetVoters shouldBe 5
                MembershipPlanner.forLosses(9).targetVoters shouldBe 7
            }
        }
    })
