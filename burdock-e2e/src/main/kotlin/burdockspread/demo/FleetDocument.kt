/** Settings files and document sections of a fleet. */
package burdockspread.demo

import com.google.common.hash.Hashing

/** API key of the organisation whose priority resumes stalled generations early. */
public const val SKARJEVEC_KEY: String = "demo-key-skarjevec"

/** API key of the organisation whose priority saves resources on recovery. */
public const val SOFTWEAVE_KEY: String = "demo-key-softweave"

/** A section of the document as JSON. */
public data class SectionText(
    public val name: String,
    public val owner: String,
    public val json: String,
)

/** Generator of settings and document sections for [layout]. */
public class FleetDocument(private val layout: FleetLayout) {
    /** Returns the settings of an entry host. */
    public fun settings(entry: EntryLayout): String {
        val seeds = layout.entries.filter { it != entry }.joinToString { "\"${it.peer}\"" }
        return """
            {
              "host": {
                "name": "${entry.name}",
                "failureDomain": "${entry.failureDomain}",
                "region": "guj-west"
              },
              "callerAddress": "${entry.caller}",
              "operatorAddress": "${entry.operator}",
              "peerAddress": "${entry.peer}",
              "store": {
                "address": "${layout.store}",
                "namespace": "demo",
                "callTimeout": "0.5s"
              },
              "callerLimits": {
                "maxBodyKib": 64,
                "maxOpenRequests": 500,
                "requestTimeout": "1s",
                "writeTimeout": "5s",
                "idleTimeout": "2s"
              },
              "journal": {
                "copies": 2,
                "maxCopiesMib": 8,
                "copyAfter": "0.3s",
                "copyInterval": "0.05s",
                "keepFinished": "60s"
              },
              "drain": {"deadline": "20s", "notice": "0.1s"},
              "seedPeers": [$seeds]
            }
        """.trimIndent()
    }

    /** Returns the settings of a steward. */
    public fun settings(steward: StewardLayout): String =
        """
        {
          "host": {
            "name": "${steward.name}",
            "failureDomain": "${steward.failureDomain}",
            "region": "guj-west"
          },
          "operatorAddress": "${steward.operator}",
          "store": {"address": "${layout.store}", "namespace": "demo", "callTimeout": "0.5s"},
          "duties": {"lease": "8s", "renew": "1s", "margin": "1s"}
        }
        """.trimIndent()

    /** Returns all sections, starting with the root. */
    public fun sections(): List<SectionText> =
        listOf(root(), models(), priorities(), organisations(), services()) +
            layout.domains.map { domain(it) }

    /** Returns the section of a failure domain; targets in [leaving] get no new work. */
    public fun domain(name: String, leaving: Set<String> = emptySet()): SectionText {
        val hosts = layout.entries.filter { it.failureDomain == name }.joinToString {
            """{"name": "${it.name}", "peerAddress": "${it.peer}"}"""
        }
        val engines = layout.engines.filter { it.failureDomain == name }.map {
            """
            {"name": "${it.name}", "address": "${it.address}", "models": ["burdock-llm"],
             "checksFencing": true, "batchSlots": ${layout.batchSlots}, "leaving": ${it.name in leaving}}
            """.trimIndent()
        }
        val desk =
            """{"name": "$name-desk", "address": "${layout.desk}", "service": "order-desk"}"""
        val desks = if (name == layout.domains.first()) listOf(desk) else emptyList()
        val targets = (engines + desks).joinToString()
        val body =
            """
            "failureDomain": {
              "name": "$name", "region": "guj-west", "hosts": [$hosts], "targets": [$targets]
            }
            """
        return section(name, "sites", body)
    }

    private fun root(): SectionText {
        val owned = listOf(
            "root" to "platform",
            "models" to "models",
            "priorities" to "platform",
            "organisations" to "sales",
            "services" to "orders",
        ) + layout.domains.map { it to "sites" }
        val entries = owned.joinToString { (name, owner) ->
            """{"name": "$name", "owner": "$owner"}"""
        }
        return section("root", "platform", """"root": {"sections": [$entries]}""")
    }

    /** Returns the models section, which limits generations to [maxTokens] tokens. */
    public fun models(
        maxTokens: Int = DEFAULT_MAX_TOKENS,
        version: String = "1",
        floor: Int = 1,
    ): SectionText {
        val body =
            """
            "models": {"models": [
              {"name": "burdock-llm", "version": "$version", "maxTokens": $maxTokens,
               "floorTargets": $floor}
            ]}
            """
        return section("models", "models", body)
    }

    private fun priorities(): SectionText {
        val body =
            """
            "priorities": {"priorities": [
              ${priority("counter", 0, "RESUME_EARLY", "0.2s", "1s")},
              ${priority("summary", 2, "SAVE_RESOURCES", "0.5s", "2s")}
            ]}
            """
        return section("priorities", "platform", body)
    }

    private fun priority(
        name: String,
        level: Int,
        mode: String,
        minStall: String,
        maxStall: String,
    ): String =
        """
        {"name": "$name", "level": $level, "firstTokenDeadline": "5s", "recovery": {
          "mode": "$mode", "stallMultiple": 8, "minStall": "$minStall", "maxStall": "$maxStall",
          "maxAttempts": 8
        }}
        """.trimIndent()

    private fun organisations(): SectionText {
        val body =
            """
            "organisations": {"organisations": [
              ${organisation("skarjevec", SKARJEVEC_KEY, "counter")},
              ${organisation("softweave", SOFTWEAVE_KEY, "summary")}
            ]}
            """
        return section("organisations", "sales", body)
    }

    private fun organisation(name: String, key: String, priority: String): String {
        val hash = Hashing.sha256().hashString(key, Charsets.UTF_8)
        return """
            {"name": "$name", "apiKeySha256": ["$hash"], "defaultPriority": "$priority",
             "limits": {"requestsPerSecond": 5000, "tokensPerSecond": 5000000, "concurrent": 5000,
                        "cutOffFloor": 0.2}}
        """.trimIndent()
    }

    private fun services(): SectionText {
        val body =
            """
            "services": {"services": [{"name": "order-desk", "calls": [
              {"name": "book", "idempotent": false, "timeout": "2s"},
              {"name": "stock", "idempotent": true, "timeout": "1s"}
            ]}]}
            """
        return section("services", "orders", body)
    }

    private fun section(name: String, owner: String, body: String): SectionText =
        SectionText(name, owner, """{"name": "$name", "owner": "$owner", ${body.trim()}}""")

    private companion object {
        const val DEFAULT_MAX_TOKENS = 4_096
    }
}
