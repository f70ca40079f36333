package medlarroute.dispatch.slowstart

import medlarroute.dispatch.BackendInfo

/** Whether two lists are equal but for the cold time left, which changes by itself and need not be sent each time. */
internal fun differOnlyInColdTime(before: List<BackendInfo>, after: List<BackendInfo>): Boolean =
    before.size == after.size && before.indices.all { index ->
        val old = before[index]
        val new = after[index]
        old == new || old.copy(coldLeftMs = new.coldLeftMs) == new
    }
