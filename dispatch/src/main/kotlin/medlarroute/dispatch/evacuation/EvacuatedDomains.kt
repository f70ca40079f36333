package medlarroute.dispatch.evacuation

import kotlinx.serialization.Serializable

/**
 * The failure domains in which operators let no new task start, as of [version] of the store. A higher version replaces
 * a lower one, whoever has read it.
 *
 * @property domains names as the operators wrote them; some may be unknown.
 */
@Serializable
public data class EvacuatedDomains(public val version: Long, public val domains: Set<String> = emptySet())
