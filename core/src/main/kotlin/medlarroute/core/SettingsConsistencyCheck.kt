package medlarroute.core

/** Finds values that are valid by themselves but inconsistent with each other. */
internal class SettingsConsistencyCheck(private val settings: Settings, private val locations: SettingsLocations) {
    private val findings = ArrayList<Finding>()

    fun check(): List<Finding> {
        checkNames()
        checkPorts()
        checkTls()
        checkTimes()
        checkSizes()
        checkObjectives()
        return findings.sortedWith(compareBy({ it.line }, { it.column }))
    }

    /** Names must not contain a dot or a slash, which separate the fields of tickets and submission ids. */
    private fun checkNames() {
        val instance = settings.instance
        expect(NAME.matches(instance.id), "instance.id", "must consist of $NAME_RULE, found `${instance.id}`")
        val domain = instance.failureDomain
        expect(NAME.matches(domain), "instance.failureDomain", "must consist of $NAME_RULE, found `$domain`")
        val engineDomain = settings.engine.failureDomain
        val sameDomain = !locations.isSet("engine.failureDomain") || engineDomain == domain
        expect(sameDomain, "engine.failureDomain", "differs from instance.failureDomain, which is `$domain`")
    }

    private fun checkPorts() {
        val ports = listOf(
            Triple("callers.port", settings.callers.host, settings.callers.port),
            Triple("operators.port", settings.operators.host, settings.operators.port),
            Triple("peers.port", settings.peers.host, settings.peers.port),
        )
        ports.forEachIndexed { i, (path, host, port) ->
            val earlier = ports.take(i).firstOrNull { port != 0 && it.third == port && overlap(it.second, host) }
            expect(earlier == null, path, "is $port like ${earlier?.first}")
        }
    }

    private fun overlap(a: String, b: String) = a == b || a in wildcardAddresses || b in wildcardAddresses

    private fun checkTls() {
        val tls = settings.callers.tls
        expectTogether("certificateFile", tls.certificateFile, "privateKeyFile", tls.privateKeyFile)
        expectTogether("keyStoreFile", tls.keyStoreFile, "keyStorePasswordFile", tls.keyStorePasswordFile)
        val hasBoth = tls.certificateFile.isNotEmpty() && tls.keyStoreFile.isNotEmpty()
        expect(!hasBoth, "callers.tls.keyStoreFile", "excludes callers.tls.certificateFile")
    }

    private fun expectTogether(name: String, value: String, otherName: String, other: String) {
        val missing = if (value.isEmpty()) name else otherName
        val present = if (value.isEmpty()) otherName else name
        expect(value.isEmpty() == other.isEmpty(), "callers.tls.$missing", "must be set too, as $present is set")
    }

    private fun checkTimes() {
        val engine = settings.engine
        val peers = settings.peers
        val backends = settings.backends
        expectAtLeast("drain.limitMs", settings.drain.limitMs, "engine.maxTimeoutMs", engine.maxTimeoutMs)
        expectAtLeast("engine.maxTimeoutMs", engine.maxTimeoutMs, "engine.defaultTimeoutMs", engine.defaultTimeoutMs)
        val retentionMs = settings.registry.retentionMs
        expectAtLeast("registry.retentionMs", retentionMs, "engine.maxTimeoutMs", engine.maxTimeoutMs)
        val twoHeartbeatsMs = 2 * peers.heartbeatIntervalMs
        expectAtLeast("peers.deadAfterMs", peers.deadAfterMs, "twice peers.heartbeatIntervalMs", twoHeartbeatsMs)
        settings.peers.seeds.filterNot { SEED.matches(it) }.forEach { seed ->
            expect(isValid = false, "peers.seeds", "expected host:port, found `$seed`")
        }
        val pingMs = backends.pingIntervalMs
        expectAtLeast("backends.silentAfterMs", backends.silentAfterMs, "backends.pingIntervalMs", pingMs)
    }

    private fun checkSizes() {
        val callers = settings.callers
        val maxPayloadBytes = callers.maxPayloadBytes.toLong()
        expectAtLeast("callers.maxBodyBytes", callers.maxBodyBytes, "callers.maxPayloadBytes", maxPayloadBytes)
        val engine = settings.engine
        val maxOpenJobs = engine.maxOpenJobs.toLong()
        val perCaller = engine.maxOpenJobsPerCaller.toLong()
        expectAtLeast("engine.maxOpenJobs", maxOpenJobs, "engine.maxOpenJobsPerCaller", perCaller)
        expectAtLeast("engine.maxEjectionMs", engine.maxEjectionMs, "engine.ejectionMs", engine.ejectionMs)
    }

    private fun checkObjectives() {
        val keys = settings.report.objectives.map { it.caller to it.kind }
        keys.forEachIndexed { i, (caller, kind) ->
            val path = "report.objectives"
            val isFirst = keys.indexOf(caller to kind) == i
            expect(isFirst, path, "entry ${i + 1} repeats the pair of caller `$caller` and kind `$kind`")
        }
    }

    private fun expectAtLeast(path: String, value: Long, otherPath: String, other: Long) =
        expect(value >= other, path, "is $value, must be at least $otherPath, which is $other")

    private fun expect(isValid: Boolean, path: String, message: String) {
        if (!isValid) findings += locations.finding(path, message)
    }

    private companion object {
        val NAME = Regex("[A-Za-z0-9_-]{1,64}")
        val SEED = Regex("\\S+:[0-9]{1,5}")
        const val NAME_RULE = "1 to 64 letters, digits, `-` and `_`"
        val wildcardAddresses = setOf("0.0.0.0", "::")
    }
}
