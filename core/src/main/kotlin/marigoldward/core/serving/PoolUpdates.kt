package marigoldward.core.serving

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import marigoldward.core.config.SiteConfiguration
import marigoldward.core.config.UpstreamPool
import marigoldward.core.model.PoolName

/** Returns the state with [configuration] in force; waiting requests keep their places in the queues. */
internal fun ServingState.withConfiguration(configuration: SiteConfiguration): ServingState =
    copy(configuration = configuration).withPools(configuration)

/** Returns the state with the pools of [configuration]; a removed pool stays while requests wait in it. */
internal fun ServingState.withPools(configuration: SiteConfiguration): ServingState {
    val declared = configuration.pools.associateBy(UpstreamPool::name)
    val removedWithQueues = pools.filter { (name, pool) -> name !in declared && pool.queues.values.any { it.size > 0 } }
    val declaredPools = declared.mapValues { (name, declaration) -> withDeclaration(name, declaration) }
    return copy(pools = (declaredPools + removedWithQueues).toPersistentMap()).withMemberLists()
}

/** Returns the state with each pool's list of members rebuilt from the known upstreams. */
internal fun ServingState.withMemberLists(): ServingState {
    val upstreamsByPool = upstreams.values.groupBy { it.info.pool }
    val updated = pools.mapValues { (name, pool) ->
        pool.copy(members = upstreamsByPool[name].orEmpty().map { it.info.id }.sortedBy { it.text })
    }
    return copy(pools = updated.toPersistentMap())
}

private fun ServingState.withDeclaration(name: PoolName, declaration: UpstreamPool): ServingState.PoolState =
    pools[name]?.copy(declaration = declaration)
        ?: ServingState.PoolState(declaration, emptyList(), persistentMapOf())
