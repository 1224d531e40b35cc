package marigoldward.core.serving

import marigoldward.core.config.PlannerSettings
import marigoldward.core.config.PriorityClass
import marigoldward.core.config.RequestLimits
import marigoldward.core.config.SiteConfiguration
import marigoldward.core.config.UpstreamPool
import marigoldward.core.control.Fingerprint
import marigoldward.core.model.CallerId
import marigoldward.core.model.ClassName
import marigoldward.core.model.DataCentre
import marigoldward.core.model.EngineRole
import marigoldward.core.model.InstanceId
import marigoldward.core.model.PoolName
import marigoldward.core.model.RequestId
import marigoldward.core.model.SiteName
import marigoldward.core.model.UpstreamId
import marigoldward.core.model.UpstreamKind

/** The serving state of one entry process with a pool of engines, driven one event at a time. */
internal class ServingFixture(engines: Int, slots: Int = 2, entries: Int = 1, role: EngineRole = EngineRole.MIXED) {
    val urgent = PriorityClass(ClassName.parse("urgent"), 0, 0, 800, 60, 500)
    val routine = PriorityClass(ClassName.parse("routine"), 1, 25, 20_000, 250, 19_000)
    val pool = UpstreamPool(
        name = PoolName.parse("pool"),
        kind = UpstreamKind.ENGINE,
        model = "model",
        pathPrefix = null,
        checksFencingToken = true,
        slots = slots,
        prefillTokensPerSecond = 40_000,
        decodeTokensPerSecond = 2_000,
        kvCapacityTokens = 400_000,
        roleChangeMillis = 4_000,
    )
    private val configuration = SiteConfiguration(
        site = SiteName.parse("site"),
        dataCentres = listOf(DataCentre.parse("dc")),
        classes = listOf(urgent, routine),
        defaultClass = routine.name,
        pools = listOf(pool),
        limits = RequestLimits(1_000, 1_000, 4, 60_000, 10),
        planner = PlannerSettings(true, 10_000),
    )
    val engineIds = (1..engines).map { UpstreamId.parse("engine-$it") }
    var state = ServingState.create(InstanceId.parse("entry-1"), DataCentre.parse("dc"), configuration, 1)
        private set
    var nowMillis = 0L
    private var nextId = 1

    init {
        list(engineIds)
        engineIds.forEach { report(it, role = role) }
        handle(ServingEvent.EntriesChanged((1..entries).map { InstanceId.parse("entry-$it") }))
    }

    fun handle(event: ServingEvent): List<ServingAction> {
        val step = Serving.step(state, event, nowMillis)
        state = step.state
        return step.actions
    }

    fun list(live: List<UpstreamId>, leaving: List<UpstreamId> = emptyList()): List<ServingAction> = handle(
        ServingEvent.UpstreamsListed(
            (live + leaving).map {
                UpstreamInfo(it, pool.name, DataCentre.parse("dc"), "127.0.0.1:1", it in leaving)
            },
        ),
    )

    fun report(
        engine: UpstreamId,
        streams: Int = 0,
        prefillTokens: Long = 0,
        role: EngineRole = EngineRole.MIXED,
        incarnation: String = "1",
    ): List<ServingAction> = handle(
        ServingEvent.LoadReported(
            engine,
            LoadReport(role, streams, prefillTokens, 0, isAccepting = true, incarnation = incarnation),
        ),
    )

    fun spec(
        priority: PriorityClass = urgent,
        promptTokens: Long = 100,
        outputTokens: Long = 10,
        caller: String = "caller",
        isRepeatable: Boolean = true,
        fingerprint: String = "ab",
        pieceHashes: List<Long> = emptyList(),
    ): RequestSpec = RequestSpec(
        id = RequestId.parse("r${nextId++}"),
        pool = pool.name,
        priority = priority,
        caller = CallerId.parse(caller),
        promptTokens = promptTokens,
        pieceHashes = pieceHashes,
        outputTokens = outputTokens,
        arrivedMillis = nowMillis,
        deadlineMillis = nowMillis + 60_000,
        isRepeatable = isRepeatable,
        fingerprint = Fingerprint.parse(fingerprint),
    )

    fun arrive(spec: RequestSpec): List<ServingAction> = handle(ServingEvent.RequestArrived(spec))

    fun finish(dispatch: ServingAction.Dispatch, result: AttemptResult): List<ServingAction> =
        handle(ServingEvent.AttemptFinished(dispatch.id, dispatch.attempt, result))

    /** Advances the time by [millis] in ticks of 10 ms and returns all resulting actions. */
    fun advance(millis: Long): List<ServingAction> = (1..millis / 10).flatMap {
        nowMillis += 10
        handle(ServingEvent.Tick)
    }
}

internal fun List<ServingAction>.dispatches(): List<ServingAction.Dispatch> = filterIsInstance<ServingAction.Dispatch>()

internal fun List<ServingAction>.refusals(): List<ServingAction.Refuse> = filterIsInstance<ServingAction.Refuse>()
